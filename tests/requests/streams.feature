Feature: Streams

  Scenario: Only whole events reach the caller
    Given an endpoint that cuts a stream off in the middle of an event
    When the stream is relayed
    Then the caller has the whole events and the attempt may have run

  Scenario: A crash is blamed on the attempt that met it, not on the next one
    Given an endpoint that says that its backend crashed
    When the stream is relayed and then tried at an endpoint that cannot be reached
    Then the first attempt counts as a crash and the second as not run

  Scenario: A suspect is not started while the backend is away
    Given an endpoint process whose backend cannot be reached
    When a suspect asks to run alone
    Then it is refused as not run and the gate is open again
