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
