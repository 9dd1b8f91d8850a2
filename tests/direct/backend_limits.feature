Feature: Entry processes keep to the limits that backends name
  A backend may name in its answers how many requests a second it takes from all processes together.

  Background:
    Given the users' platform with two plain backends and two engines
    And two entry processes that are ready
    And they have been ready for 4 s

  Scenario Outline: A backend that names a limit gets no more from all entry processes together
    Given one <kind> of backend names a limit of <limit> a second
    When callers send 16 requests a second to each entry process for 6 s
    Then it has got no more requests in any 4 s than its limit allows
    And every caller was served

    Examples: kinds
      | kind   | limit |
      | plain  | 1     |
      | plain  | 0     |
      | engine | 1     |

  Scenario: Callers are refused at once when all backends of a service name limits
    Given all plain backends name a limit of 2 a second
    When callers send 16 requests a second to each entry process for 6 s
    Then each of them has got no more requests in any 4 s than its limit allows
    And 0.9 of the limits were used
    And each refusal came at once and says when to come back

  Scenario: A backend that names no limit any more gets as many requests as the others
    Given one plain of backend names a limit of 1 a second
    When callers send 16 requests a second to each entry process for 4 s
    And the backend names no limit from then on
    And callers send 16 requests a second to each entry process for 4 s
    Then both plain backends have got at least 0.25 of the last requests
