Feature: What an entry process knows of cold backends
  A backend that gets far more requests than its service declares for cold ones crashes. The modules
  run without a network.

  Scenario Outline: A service with <fields> <outcome>
    When a configuration declares a service with <fields>
    Then the configuration <outcome>

    Examples: declared
      | fields                                | outcome                        |
      | {}                                    | takes 0 a second for 0 s       |
      | {"cold_start_s": 3, "cold_per_s": 26} | takes 26 a second for 3 s      |
      | {"cold_start_s": 3, "cold_per_s": 0}  | takes 0 a second for 3 s       |
      | {"cold_per_s": 0.5}                   | takes 0.5 a second for 0 s     |
      | {"cold_per_s": -1}                    | is malformed                   |
      | {"cold_per_s": "26"}                  | is malformed                   |
      | {"cold_per_s": true}                  | is malformed                   |
      | {"cold_start_s": [3]}                 | is malformed                   |
      | {"cold_start_s": -0.1}                | is malformed                   |

  Scenario Outline: A registration with <fields> <outcome>
    When a backend registers with <fields>
    Then the registration <outcome>

    Examples: registered
      | fields                         | outcome             |
      | {}                             | is cold for 0 s     |
      | {"cold_remaining_ms": null}    | is cold for 0 s     |
      | {"cold_remaining_ms": 0}       | is cold for 0 s     |
      | {"cold_remaining_ms": 1500}    | is cold for 1.5 s   |
      | {"cold_remaining_ms": 1500.5}  | is cold for 1.5005 s |
      | {"cold_remaining_ms": -1}      | is malformed        |
      | {"cold_remaining_ms": "1500"}  | is malformed        |
      | {"cold_remaining_ms": false}   | is malformed        |
      | {"cold_remaining_ms": {}}      | is malformed        |
      | {"cold_remaining_ms": 1e999}   | is malformed        |
      | {"cold_remaining_ms": 1e300}   | is malformed        |

  Scenario Outline: An answer with status <status> and "<header>" is read as cold for <seconds> s
    When an answer with status <status> says "<header>" of the cold start
    Then it is read as cold for <seconds> s

    Examples: answers
      | status | header | seconds |
      | 200    |        | 0       |
      | 200    | 2500   | 2.5     |
      | 503    | 2500   | 2.5     |
      | 421    | 2500   | 0       |
      | 200    | -1     | 0       |
      | 200    | soon   | 0       |
      | 200    | nan    | 0       |

  Scenario: The lower of the limit that a backend names and the one of its warm-up applies
    Given a cold backend of a service that takes 26 a second
    Then at most 26 requests a second are allowed
    When its answer names a limit of 10 a second
    Then at most 10 requests a second are allowed
    When its answer names a limit of 40 a second
    Then at most 26 requests a second are allowed
    And 3.1 s later at most 40 requests a second are allowed

  Scenario: A refused grant keeps a backend from use no longer than it is cold
    Given a cold backend of a service that takes 26 a second
    When the owner grants no send for 9 s
    Then it may be used again 3 s after it registered

  Scenario: A configuration without the rate, and a service without it, set no limit
    Given a cold backend of a service that takes 0 a second
    Then no limit on requests applies
    When a configuration declares 26 requests a second while cold
    Then at most 26 requests a second are allowed
    When a configuration declares 0 requests a second while cold
    Then no limit on requests applies

  Scenario: A later registration that is no longer cold does not end a warm-up early
    Given a cold backend of a service that takes 26 a second
    When it registers again without a cold time
    Then at most 26 requests a second are allowed

  Scenario: The end of an evacuation warms up the backends of its zone only
    Given two zones with a warm backend each, of a service that takes 26 a second
    When the evacuation of zone "zone-a" begins and ends
    Then the backends that are warming up are "e-0"
    And 3.1 s later the backends that are warming up are ""

  Scenario: A registration of unknown age is told to no other process
    Given a backend that a process found registered as cold when it started
    Then at most 26 requests a second are allowed
    And its questions do not say that the backend is cold

  Scenario: A report of a warm-up by a process that knows of no limit does not end a named one
    Given a cold backend of a service that takes 26 a second
    When its answer names a limit of 10 a second
    And a process whose machine started later reports the warm-up only
    Then at most 10 requests a second are allowed

  Scenario: Warm-ups are logged once, as they begin and end
    Given a cold backend of a service that takes 26 a second
    Then one warm-up is in progress, and 3.1 s later none
