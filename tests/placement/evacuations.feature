Feature: Evacuation of an availability zone
  The operator writes a key for the zone to the store. The modules run without a network.

  Scenario Outline: A value of <value> evacuates the zone, with <lines>
    # Guards against a typing error in the value leaving the zone in use.
    Given a process that knows engines in zone-a and zone-b
    When the evacuation of "<zone>" is written with the value <value>
    Then requests are sent to zone-b only
    And the lines "<lines>" are logged

    Examples: values
      | zone   | value       | lines                                 |
      | zone-a | {}          | zone.evacuated                        |
      | zone-a | {"by":"me"} | zone.evacuated                        |
      | zone-a | []          | evacuation.unreadable, zone.evacuated |
      | zone-a | {"by"       | evacuation.unreadable, zone.evacuated |
      | zone-a | nothing     | evacuation.unreadable, zone.evacuated |
      | zone-a | bytes       | evacuation.unreadable, zone.evacuated |

  Scenario: A zone that the settings lack is evacuated, with a line
    Given a process that knows engines in zone-x and zone-b
    When the evacuation of "zone-x" is written with the value {}
    Then requests are sent to zone-b only
    And the lines "zone.evacuated, zone.unknown" are logged

  Scenario: An evacuation that is written again and then deleted ends once
    # Guards against a second key write leaving the zone evacuated, and against a doubled warm-up.
    Given a process that knows engines in zone-a and zone-b
    When the evacuation of "zone-a" is written with the value {}
    And the evacuation of "zone-a" is written with the value {}
    And the evacuation of "zone-a" is deleted
    And the evacuation of "zone-a" is deleted
    Then requests are sent to both zones
    And the end of the evacuation of "zone-a" is passed on once, with its time
    And the lines "zone.evacuated, zone.returned" are logged

  Scenario: Without another backend, requests are refused at once
    # Guards against the wait for a backend, which cannot come.
    Given a process that knows engines in zone-a and zone-a
    When the evacuation of "zone-a" is written with the value {}
    Then requests are refused at once for "no-backend"

  Scenario: A retry is not sent to the evacuated zone, even if the other engine has failed it
    Given a process that knows engines in zone-a and zone-b
    When the evacuation of "zone-a" is written with the value {}
    Then a retry after a failure in zone-b is sent to zone-b

  Scenario Outline: A request whose backend <change> during its wait for a grant is not sent there
    # Guards against a check before the wait only.
    Given a process that knows engines in zone-a and zone-b
    When the engine of a request <change> while the request waits for a grant
    Then the request goes to the other engine

    Examples: changes
      | change                      |
      | is evacuated                |
      | moves to a forbidden region |

  Scenario: A process that starts during an evacuation knows it once it is ready
    Given a process that reads a store with engines and the evacuation of "zone-a" at its start
    Then requests are sent to zone-b only

  Scenario: A process that cannot reach the store learns both ends of an evacuation from a peer
    Given a process that reads a store with engines at its start
    And a peer that reads the same store
    When the peer sees the evacuation of "zone-a" written and tells the process
    Then requests are sent to zone-b only
    When the peer sees the evacuation of "zone-a" deleted and tells the process
    Then requests are sent to both zones

  Scenario: A snapshot of a peer tells that an evacuation has ended after a restore
    # Guards against the 30 s below being waited for, as snapshots leave out keys that do not exist.
    Given a process that reads a store with engines and the evacuation of "zone-a" at its start
    And a peer that reads the same store
    When the store is restored for the peer, which sees the evacuation of "zone-a" deleted
    And the process receives a snapshot of the peer
    Then requests are sent to both zones

  Scenario: An evacuation that a restored store lacks stays in force for 30 s
    # Guards against the copy's silence being taken for a deletion, and against an endless one.
    Given a process that reads a store with engines and the evacuation of "zone-a" at its start
    When the store comes back from a copy without the evacuation
    Then the zone is evacuated 29.9 s after the restore
    But not 30.1 s after it

  Scenario: It does not end while the process cannot know what the operator has written again
    # Guards against a process that is cut off returning to an evacuated zone by itself.
    Given a process that reads a store with engines and the evacuation of "zone-a" at its start
    When the store comes back from a copy without the evacuation
    And the process hears nothing of the store from 20 s after the restore on
    Then the zone is evacuated 90 s after the restore

  Scenario Outline: After a restore without the key, an evacuation that is <written> is <state>
    Given a process that reads a store with engines and the evacuation of "zone-a" at its start
    When the store comes back from a copy without the evacuation
    And the operator has the evacuation <written> in the restored store
    Then the zone is <state> 60 s after the restore

    Examples: written
      | written                 | state         |
      | written again           | evacuated     |
      | written again and ended | not evacuated |
      | ended                   | not evacuated |

  Scenario: An evacuation that was ended is in force again if the copy still has it, and can be ended
    Given a process that reads a store with engines and the evacuation of "zone-a" at its start
    When the evacuation of "zone-a" is deleted
    And the store comes back from a copy with the evacuation
    Then the zone is evacuated 0 s after the restore
    When the evacuation of "zone-a" is deleted
    Then the zone is not evacuated 60 s after the restore

  Scenario Outline: A process that reads the restored store <seconds> s before a peer tells it <result>
    # Guards against a process that was cut off for long bringing an old evacuation back.
    Given a process that reads a store with engines and the evacuation of "zone-a" at its start
    When the store comes back from a copy without the evacuation
    And a new process reads the restored store, and hears what this one keeps <seconds> s later
    Then the new process <result> the zone

    Examples: told
      | seconds | result             |
      | 1       | evacuates          |
      | 31      | does not evacuate  |
