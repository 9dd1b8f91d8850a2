Feature: What an entry process knows of the limits that backends name
  The modules run without a network.

  Scenario Outline: A limit of "<header>" in an answer with status <status> is read as <limit>
    When an answer with status <status> carries the limits "<header>"
    Then the limit is read as <limit>

    Examples: read
      | header | status | limit     |
      | 0      | 200    | 0         |
      | 0.5    | 503    | 0.5       |
      | 40     | 200    | 40        |
      | .25    | 500    | 0.25      |
      |        | 200    | none      |
      |        | 421    | not shown |
      | 2      | 421    | 2         |
      | -1     | 200    | malformed |
      | inf    | 200    | malformed |
      | nan    | 200    | malformed |
      | 1_000  | 200    | malformed |
      | 1e9    | 200    | malformed |
      | few    | 200    | malformed |
      | ٣      | 200    | malformed |
      | 3, 4   | 200    | malformed |
      | 3;4    | 200    | malformed |

  Scenario: An answer that may not be the backend's own does not show that it names no limit
    When an answer with status 200 carries neither a limit nor a signature
    Then the limit is read as not shown

  Scenario: A malformed limit changes nothing
    Given a backend that has named a limit of 2 a second
    When it names a malformed limit
    Then its limit is 2 a second

  Scenario: An answer without a limit ends the limit only if its request was sent after the last one
    Given a backend that has named a limit of 2 a second
    When an answer without a limit comes to a request sent before
    Then its limit is 2 a second
    When an answer without a limit comes to a request sent afterwards
    Then it has no limit

  Scenario: A limit that a peer reports is older than what a later answer has shown
    Given a backend that has named a limit of 2 a second
    When an answer without a limit comes to a request sent afterwards
    And a peer reports the limit of 2 a second that was named before
    Then it has no limit

  Scenario: A new incarnation has no limit
    Given a backend that has named a limit of 2 a second
    When a new incarnation of it registers
    Then it has no limit
