Feature: Requests in progress while their configuration changes
  Each gets a whole answer or a whole refusal with a verdict that is true.

  # Guards against requests that lose their answer to a configuration that takes away what they stand on.
  Scenario: Whatever a configuration takes away or changes, no request in progress is lost
    When each kind of change meets requests that are read, wait, are sent, are silent or stream
    Then each of them gets a whole answer, or a refusal whose verdict is true
    And the streams that had begun are whole

  # Guards against streams that cannot be resumed because their configuration has changed.
  Scenario: A stream that breaks off after a change of its configuration goes on
    When each change that leaves backends and retries meets a stream that breaks off later
    Then each of them is whole

  # Guards against requests that are sent to a backend which left while its limit was asked.
  Scenario Outline: A backend that is <state> while its limit is asked for gets no request
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    When a request has chosen a backend, and that is <state> while its limit is asked for
    Then it gets the complete answer of a backend
    And that backend ran nothing

    Examples: states
      | state                       |
      | draining                    |
      | registrations gone          |
      | registered as other service |
