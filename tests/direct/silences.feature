Feature: Backends that are silent for a moment and go on
  A silent send is kept until another backend has answered in its place.

  Background:
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready

  Scenario: Streams of silent engines that share one last retry are not cut
    Given one retry is left in the budget
    When callers open 6 streams and all engines fall silent for 1.4 s
    Then each stream is whole, in order, once each

  Scenario: A stream of a silent engine is not cut when the other engine takes nothing
    Given one engine is "full"
    When callers open 3 streams and all engines fall silent for 1.4 s
    Then each stream is whole, in order, once each

  Scenario: A stream of a silent engine is not cut when its zone is evacuated meanwhile
    When callers open 6 streams, all engines fall silent for 1.4 s, and both zones are evacuated
    Then each stream is whole, in order, once each

  Scenario: Look-ups at silent backends that share one last retry are answered
    Given one retry is left in the budget
    When callers look 6 things up at backends that fall silent for 1.4 s
    Then each gets the complete answer of a backend

  Scenario: A silent engine that goes on before its successor keeps its stream
    Given the other engine answers only after 0.5 s
    When callers open 2 streams on one engine and it falls silent for 1.4 s
    Then each stream is whole, in order, once each
    And the work of the successors ends within half a second

  Scenario: A stream of an engine that stays silent goes on at the other engine
    When callers open 2 streams on one engine and it falls silent for 30 s
    Then each stream is whole, in order, once each
    And that took at most 2.5 s

  Scenario: Many requests that meet one silence count as one failure of their backend
    When one backend is found silent by 20 requests at once, and answers again
    Then its backoff was the shortest one, and ends with that answer

  Scenario Outline: Engines that were all <state> for a moment are used again though nobody tries them
    Given two engines that were <state> for 16 requests in a row
    Then a request is refused 0.1 s later, and admitted 15 s later

    Examples: states
      | state  |
      | slow   |
      | failed |

  Scenario: A stream that breaks off while no retry is left waits for one and is not cut
    Given one engine is "truncated-event"
    And no retry is left in the budget for 1 s from the break on
    When callers open streams until that engine was tried
    Then each gets all events in order, once each

  Scenario Outline: A silent stream whose successor is answered <status> is not cut
    Given the other engine answers streams that are resumed with <status>
    When callers open 2 streams on one engine and it falls silent for 1.4 s
    Then each stream is whole, in order, once each

    Examples: statuses
      | status |
      | 204    |
      | 404    |
      | 409    |
      | 500    |

  Scenario: Silent streams send no more successors than another engine has free slots
    Given two engines with 16 slots, of which one has 2 free slots
    When 12 streams on the other engine are silent at the same time
    Then 2 successors are sent

  Scenario: An engine that was full once takes over from a silent one later
    Given an engine that refused a request as full 1 s ago
    Then it is chosen as the successor of a silent send of the same request

  Scenario: Streams that broke off wait for a retry though the grant of a limit takes time
    Given one engine is "truncated-event"
    And a grant takes 10 ms, and a retry is left each 0.1 s
    When callers open 4 streams on that engine
    Then each gets all events in order, once each

  Scenario: A stop of this process is not taken for a silence of its backends
    When the process stands still for 1.7 s while a backend answers
    Then no successor was looked for

  Scenario: A request that has ended is not kept in memory
    When a request has been answered
    Then nothing refers to it any more
