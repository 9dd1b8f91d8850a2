Feature: Requests sent straight to backends
  Runs on the stand-in of the users' platform, with real sockets on loopback.

  Background:
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready

  Scenario: A complete answer is forwarded, and its backend gets the time left and the workspace
    When a caller looks something up
    Then it gets the complete answer of a backend
    And the backend received the workspace, its own identity and at most the caller's time
    And the backend did not receive the key

  Scenario: Headers that callers may not set are not forwarded
    When a caller looks something up and sets the workspace, backend and version headers itself
    Then it gets the complete answer of a backend
    And the backend received the workspace, its own identity and at most the caller's time

  Scenario Outline: A booking runs at most once when its backends are <mode>
    Given all plain backends are "<mode>"
    When a caller books something
    Then the status is <status>
    And the booking ran <runs> times

    Examples:
      | mode           | status | runs |
      | reset          | 502    | 1    |
      | truncated      | 502    | 1    |
      | wrong-attempt  | 502    | 1    |
      | unframed-reset | 502    | 1    |
      | unsigned       | 502    | 1    |
      | failing        | 500    | 1    |
      | full           | 503    | 0    |

  Scenario: A refusal carries a retry delay
    Given all plain backends are "full"
    When a caller books something
    Then the status is 503
    And the answer has a Retry-After header

  Scenario Outline: A look-up is retried at the other backend when one is <mode>
    Given one plain backend is "<mode>"
    When a caller looks something up until that backend was tried
    Then it gets the complete answer of a backend

    Examples:
      | mode           |
      | reset          |
      | truncated      |
      | wrong-attempt  |
      | failing        |
      | full           |
      | unframed-reset |
      | unsigned       |

  Scenario: A booking is not sent twice after a lost answer
    Given all plain backends are "reset"
    When a caller books something
    Then the booking ran 1 times

  Scenario: A request without a valid key or route is refused before any backend receives it
    When a caller uses an unknown key, an unknown host and an unknown path
    Then the statuses are 401, 404 and 404
    And no backend ran anything

  Scenario: A body over the limit is refused
    When a caller books with a body over the limit
    Then the status is 413

  Scenario: A caller that disconnects cancels the work of its backend
    Given all plain backends are "hang"
    When a caller books something and disconnects
    Then the backend's work ends within half a second

  Scenario: The route's timeout ends a request that its backend does not answer
    Given the route of bookings has a timeout of 300 ms
    And all plain backends are "hang"
    When a caller books something
    Then the status is 504
    And the answer came within 600 ms

  Scenario: A request that crashed two backends is refused
    Given all plain backends are "reset"
    When the same look-up is sent again and again
    Then it reached backends at most 2 times

  Scenario: A stream is forwarded event by event
    When a caller opens a stream
    Then it gets all events in order, once each

  Scenario: A stream that breaks in the middle of an event resumes at the other engine
    Given one engine is "truncated-event"
    When callers open streams until that engine was tried
    Then each gets all events in order, once each

  Scenario: A stream that stalls, though a byte arrives now and then, resumes at the other engine
    Given one engine is "trickling"
    When callers open streams until that engine was tried
    Then each gets all events in order, once each

  Scenario: A stalled stream that may not be resumed ends with the time of its route
    Given all engines are "trickling"
    When a caller opens a stream that may not be resumed
    Then the connection ends without a complete answer
    And that took at most 4.5 s

  Scenario: A server error that is retried counts once against its engine and is logged as such
    Given one engine is "failing"
    And the log lines about failed attempts are collected
    When callers open streams until that engine was tried
    Then each gets all events in order, once each
    And the engine's failure share is that of one failure
    And the failed attempt is logged as a server error that may have run

  Scenario: A server error at the resume of a stream is not written into the stream
    Given one engine is "truncated-event"
    And the other engine is "failing"
    When a caller reads the raw bytes of a stream
    Then they hold one status line and the connection ends

  Scenario: A stream that may not be resumed is aborted, and does not look complete
    Given all engines are "truncated-event"
    When a caller opens a stream that may not be resumed
    Then the connection ends without a complete answer

  # Guards against an error's text, or events that come twice, in the middle of a caller's stream.
  Scenario Outline: What is not the rest of a stream is not joined to it
    Given all engines are "<mode>"
    When a caller reads a stream until its connection ends
    Then it got events in order, once each, nothing else, and no complete end

    Examples: resumed
      | mode               |
      | resumes-anew       |
      | resumes-encoded    |
      | resumes-with-text  |
      | resumes-with-error |
      | resumes-cut-head   |

  Scenario: A slow stream is not cancelled when the retry budget is used up
    Given all engines are "slow"
    When a caller opens a stream and the retry budget is used up meanwhile
    Then it gets all events in order, once each

  Scenario: An engine that loads weights gets no requests
    When an endpoint process announces that one engine loads
    And callers open 6 streams
    Then that engine ran nothing

  Scenario: A leaving backend gets no new requests
    When one plain backend registers as draining
    And callers look something up 12 times
    Then that backend ran nothing

  Scenario: A look-up runs at no more backends than its route allows
    Given three more plain backends
    And all plain backends are "truncated"
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

  Scenario Outline: An answer without end is neither kept in memory nor waited for: <mode>
    Given all plain backends are "<mode>"
    And all engines are "<mode>"
    When a caller looks something up, and then opens a stream
    Then neither gets a complete answer
    And each came within 4.5 s, and the backends sent at most 64 MiB for it

    Examples: endless
      | mode            |
      | endless-body    |
      | endless-chunks  |
      | endless-failure |
      | endless-headers |
      | endless-header  |
      | endless-hints   |
      | endless-noise   |

  Scenario Outline: A <kind> whose deadline passes at a backend is not said not to have run
    Given all <kinds> are "hang"
    When a caller sends "<path>" with a deadline of 0.5 s
    Then the answer is 504 and says that it may have run

    Examples: deadlines
      | kind             | kinds          | path           |
      | stream           | engines        | /stream/1      |
      | unique stream    | engines        | /stream/once/1 |
      | look-up          | plain backends | /look/1        |
      | booking          | plain backends | /book/1        |

  Scenario: An answer without a length that is reset at any moment after its head is not complete
    Given all plain backends are "unframed-reset"
    When they reset their answers 0 to 12 turns of the event loop after the head
    Then no caller gets a success

  # Guards against a success with an empty or short body from a backend that stopped within its head.
  Scenario Outline: An answer that is <cut> in its head is no success
    Given all plain backends are "<mode>"
    And all engines are "<mode>"
    When callers book, look up and open streams while the head ends at each of its marks
    Then each gets a complete 502 that says that it may have run, or it has not run

    Examples: cuts
      | cut    | mode            |
      | closed | cut-head-closed |
      | reset  | cut-head-reset  |
