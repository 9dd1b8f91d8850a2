Feature: Requests sent straight to backends
  Played on the stand-in of the users' platform, with real sockets on loopback.

  Background:
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready

  Scenario: An answer is passed on whole, with the time that is left and the workspace
    When a caller looks something up
    Then it gets the whole answer of a backend
    And the backend was told the workspace, its own identity and at most the time of the caller
    And the backend did not get the key

  Scenario: What callers may not set is not passed on
    When a caller looks something up and names a workspace, a backend and a version itself
    Then it gets the whole answer of a backend
    And the backend was told the workspace, its own identity and at most the time of the caller

  Scenario Outline: A booking runs at most once when its backends are <mode>
    Given all plain backends are "<mode>"
    When a caller books something
    Then the status is <status>
    And the booking ran <runs> times

    Examples:
      | mode           | status | runs |
      | reset          | 502    | 1    |
      | short          | 502    | 1    |
      | foreign        | 502    | 1    |
      | unframed-reset | 502    | 1    |
      | unsigned       | 502    | 1    |
      | failing        | 500    | 1    |
      | full           | 503    | 0    |

  Scenario: A refusal says when to come back
    Given all plain backends are "full"
    When a caller books something
    Then the status is 503
    And the answer says when to come back

  Scenario Outline: A look-up goes on to the other backend when one is <mode>
    Given one plain backend is "<mode>"
    When a caller looks something up until that backend was met
    Then it gets the whole answer of a backend

    Examples:
      | mode           |
      | reset          |
      | short          |
      | foreign        |
      | failing        |
      | full           |
      | unframed-reset |
      | unsigned       |

  Scenario: A booking is not sent twice after an answer that was lost
    Given all plain backends are "reset"
    When a caller books something
    Then the booking ran 1 times

  Scenario: A request that nobody may run is refused before any backend sees it
    When a caller uses an unknown key, an unknown host and an unknown path
    Then the statuses are 401, 404 and 404
    And no backend ran anything

  Scenario: A body over the limit is refused
    When a caller books with a body over the limit
    Then the status is 413

  Scenario: A caller that leaves ends the work of its backend
    Given all plain backends are "hang"
    When a caller books something and leaves
    Then the backend's work ends within half a second

  Scenario: The route's time ends a request that its backend does not answer
    Given the route of bookings has 300 ms
    And all plain backends are "hang"
    When a caller books something
    Then the status is 504
    And the answer came within 600 ms

  Scenario: A request that broke two backends is refused
    Given all plain backends are "reset"
    When the same look-up is sent again and again
    Then it reached backends at most 4 times

  Scenario: A stream is passed on event by event
    When a caller opens a stream
    Then it gets all events in order, once each

  Scenario: A stream that breaks in the middle of an event goes on at the other engine
    Given one engine is "cut"
    When callers open streams until that engine was met
    Then each gets all events in order, once each

  Scenario: A stream that may not go on is cut off, and does not look complete
    Given all engines are "cut"
    When a caller opens a stream that may not be resumed
    Then the connection ends without a complete answer

  Scenario: A slow stream is not cut off when no repeat is left
    Given all engines are "slow"
    When a caller opens a stream and the last repeats are used up meanwhile
    Then it gets all events in order, once each

  Scenario: An engine that loads weights gets nothing
    When an endpoint process says that one engine loads
    And callers open 6 streams
    Then that engine ran nothing

  Scenario: A leaving backend gets nothing new
    When one plain backend says that it leaves
    And callers look something up 12 times
    Then that backend ran nothing

  Scenario: A look-up runs at no more backends than its route allows
    Given three more plain backends
    And all plain backends are "short"
    When a caller looks something up
    Then the status is 502
    And the look-up ran at 2 backends

  Scenario Outline: A request with <fault> is refused and nothing of it runs
    When raw bytes with <fault> are sent
    Then the answer is a 400 and no backend ran anything

    Examples:
      | fault               |
      | two lengths         |
      | length and chunks   |
      | a broken chunk size |
