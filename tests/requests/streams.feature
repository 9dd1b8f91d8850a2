Feature: Streams

  Scenario: Only complete events reach the caller
    Given an endpoint that disconnects in the middle of an event
    When the stream is relayed
    Then the caller has the complete events and the attempt may have run

  Scenario: A crash counts for the attempt in which it happened, not for the next one
    Given an endpoint that reports that its backend crashed
    When the stream is relayed and then retried on an unreachable endpoint
    Then the first attempt counts as a crash and the second as not run

  Scenario: A quarantined request does not start while the backend is unreachable
    Given an endpoint process whose backend is unreachable
    When a quarantined request is sent to run alone
    Then the request is refused as not run and the gate admits other requests again

  # Guards against streams that are read to their end and not forwarded.
  Scenario Outline: A stream whose lines end with <end> passes the endpoint and entry process unchanged
    Given a backend that sends "<mark>data: 1<end><end>: note<end><end>data: 2<end><end>data: [DONE]<end><end>"
    When its stream is relayed by an endpoint process and an entry process
    Then the caller has all bytes of the backend and the end, with 2 tokens

    Examples:
      | end  | mark         |
      | \n   |              |
      | \r\n |              |
      | \r   |              |
      | \r\n | \xef\xbb\xbf |

  Scenario: Data that looks like the end of a stream, or like a report of a crash, is neither
    Given a backend that sends "data: "data: [DONE]"\n\ndata: x: backend-crashed\n\n"
    When its stream is relayed by an endpoint process and an entry process
    Then the caller has all bytes of the backend and no end, with 2 tokens
    And the attempt does not count as a crash

  Scenario: The second part of a stream is joined without its byte order mark
    Given a backend that sends "\xef\xbb\xbfdata: 1\r\n\r\n"
    When its stream is relayed by an endpoint process and an entry process, and then resumed
    Then the caller has "\xef\xbb\xbfdata: 1\r\n\r\ndata: 1\r\n\r\n"
