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

  # Guards against a status 500 without a verdict for each request, until the next configuration.
  Scenario Outline: With a configuration whose <field> is <value> requests are <handled>
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    When a configuration comes whose <field> is <value>, and then a stream and a look-up
    Then they are <handled>

    Examples: values that the deciding code divides by, or adds up
      | field      | value | handled                      |
      | weight     | 0     | refused as without a backend |
      | weight     | -1    | served by the last one       |
      | slots      | 0     | served by the last one       |
      | read_per_s | 0     | served by the last one       |
      | step_ms    | -8    | served by the last one       |
      | timeout_ms | -1    | served by the last one       |

  # Guards against a 408 that follows another answer, in place of the answer to the next request.
  Scenario: The rest of a body that was refused is not taken for the header of a request
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And limits of 1000 bytes for bodies, 15000 ms for idle connections and 300 ms for headers
    When a caller gets a refusal amid its body, sends the rest over 0.8 s, and then looks up
    Then it gets a 413 and then the answer of a backend, and its connection is kept
