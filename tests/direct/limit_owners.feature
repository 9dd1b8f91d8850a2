Feature: One entry process grants the sends to a backend that names a limit
  Entry processes, their callers and the backend are simulated, without a network. In any 4 s the
  backend may get 1.5 times its limit, and 5 requests, from the processes that have had its answer
  half a second before; one that is cut off or restarted is not counted in that time.

  Scenario Outline: <count> entry processes keep to a limit of <limit> and use it
    Given <count> entry processes whose callers want <demand> requests a second of one backend
    When it names a limit of <limit> a second for 20 s
    Then it gets no more in any 4 s than its limit allows
    And after 8 s at least 0.9 of the limit is used
    And the owner is asked at most <questions> times a second

    Examples:
      | count | limit | demand | questions |
      | 8     | 0     | 20     | 15        |
      | 8     | 0.5   | 20     | 15        |
      | 8     | 1     | 20     | 20        |
      | 8     | 40    | 120    | 140       |
      | 41    | 1     | 100    | 20        |
      | 41    | 12.5  | 100    | 60        |
      | 98    | 1     | 200    | 30        |

  Scenario: A limit is used though one entry process has nearly all callers
    Given 8 entry processes, one of which has 0.95 of the callers, who want 60 requests a second
    When it names a limit of 20 a second for 20 s
    Then it gets no more in any 4 s than its limit allows
    And after 8 s at least 0.9 of the limit is used

  Scenario Outline: The limit holds while the owner <fault>
    Given <count> entry processes whose callers want 80 requests a second of one backend
    And it names a limit of 10 a second
    When the owner <fault>
    Then it gets no more in any 4 s than its limit allows
    And all agree on one owner 8 s later
    And the limit is used again

    Examples:
      | count | fault                       |
      | 8     | is killed and starts again  |
      | 8     | is cut off for 3 s          |
      | 8     | is cut off for 9 s          |
      | 8     | leaves                      |
      | 41    | is killed and starts again  |
      | 41    | is cut off for 3 s          |

  Scenario: The limit holds while one process after the other restarts
    Given 8 entry processes whose callers want 80 requests a second of one backend
    And it names a limit of 10 a second
    When each of them restarts, 2 s after the one before
    Then it gets no more in any 4 s than its limit allows
    And all agree on one owner 8 s later
    And the limit is used again

  Scenario: A limit that rises, falls and ends is followed
    Given 8 entry processes whose callers want 80 requests a second of one backend
    And it names a limit of 2 a second
    When its limit is 20 for 10 s, then 0 for 12 s, then none
    Then each limit was kept from 2 s after its change
    And 12 s after the end all processes send as they like

  Scenario: A process that has had no answer of the backend learns its limit from its peers
    Given 8 entry processes, one of which has 0.95 of the callers, who want 10 requests a second
    When it names a limit of 1 a second for 4 s
    Then every process knows the limit

  Scenario: A backend is passed over, and asked about again, if the question cannot be sent
    Given 8 entry processes whose callers want 8 requests a second of one backend
    And it names a limit of 1 a second
    When a process asks a silent owner, asks again, and cannot send its question
    Then neither question leaves the backend waiting for a grant

  Scenario: Only the owner of a limit grants sends
    Given 8 entry processes whose callers want 8 requests a second of one backend
    And it names a limit of 1 a second
    When each process is asked for a send by another one
    Then only the owner grants one

  Scenario Outline: The limit holds while faults follow each other and overlap, drawn from seed <seed>
    When faults of several entry processes are drawn from seed <seed>
    Then it gets no more in any 4 s than its limit allows

    Examples: drawn faults
      | seed |
      | 3    |
      | 5    |
      | 6    |

  Scenario: Processes agree on an owner though all registrations end in an outage of the store
    Given 98 entry processes whose callers want 80 requests a second of one backend
    And it names a limit of 10 a second
    When the registrations of all entry processes end, and return 2 s later
    Then the processes agreed on one owner in all that time
    And it gets no more in any 4 s than its limit allows
    And the limit is used again

  Scenario Outline: <count> entry processes in parts of <parts> keep to the rate of a cold engine together
    Given <count> entry processes, 1 engines and 200 requests a second for them
    When they are split into parts of <parts>, and the engine is cold from 3.5 s to 10.5 s, and 10 s after
    Then it gets fewer than 44 requests in any second
    And at least <share> of its rate from 3.5 s to 7 s, and 0.9 in the last 4 s

    Examples: single processes, even splits, larger parts
      | count | parts    | share |
      | 2     | 1, 1     | 0.9   |
      | 3     | 2, 1     | 0.9   |
      | 4     | 2, 1, 1  | 0.45  |
      | 8     | 4, 4     | 0.9   |
      | 9     | 6, 1, 1, 1 | 0.9 |
      | 18    | 12, 5, 1 | 0.9   |
      | 46    | 31, 15   | 0.9   |

  Scenario Outline: The last of <count> entry processes grants <share> of a rate until the others' leases end
    Given <count> entry processes, 1 engines and 200 requests a second for them
    When the engine is cold for 30 s, and all but one are killed
    Then <share> of the rate is used from 4 s to 6 s
    And it gets fewer than 44 requests in any second
    And 1 of the rate is used from 15 s to 25 s

    Examples: by the number of processes
      | count | share |
      | 2     | 0.5   |
      | 3     | 0     |
