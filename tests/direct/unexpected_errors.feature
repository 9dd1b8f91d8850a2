Feature: Requests whose handling fails unexpectedly
  # Guards against whole requests that end without an answer, a verdict or a log line.

  Background:
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And the log lines about requests are collected

  Scenario Outline: A request gets a complete refusal when <place> fails unexpectedly
    Given <place> fails unexpectedly
    When callers book, look something up and open a stream
    Then each gets a complete 502 that says "<verdict>"
    And the last line of each is "request.unexpected" with the error

    Examples: places
      | place                    | verdict      |
      | the search for a route   | not-run      |
      | the choice of a backend  | not-run      |
      | the record of a backend  | may-have-run |

  Scenario: Answers with a control character in a header reach their callers
    Given all backends send a control character in a header
    When callers book, look something up and open a stream
    Then each gets the complete answer, with that header unchanged

  Scenario: A stream whose handling fails unexpectedly does not look complete without framing
    Given the record of an event fails unexpectedly
    When an HTTP/1.0 caller opens a stream at "/stream/x"
    Then its connection is reset in the middle of the stream
    And the last line of each is "request.unexpected" with the error

  Scenario: A stream that cannot be resumed does not look complete to an HTTP/1.0 caller
    Given all engines are "truncated-event"
    When an HTTP/1.0 caller opens a stream at "/stream/once/x"
    Then its connection is reset in the middle of the stream
