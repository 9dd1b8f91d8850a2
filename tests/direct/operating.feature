Feature: Operating the direct mode

  Scenario: Settings that have changed are taken without a restart
    Given a daemon of the direct mode with its file of settings
    When the bound of versions and the extra repeats change in the file and it is told
    Then they are in force

  Scenario Outline: Settings that <fault> leave those in force
    Given a daemon of the direct mode with its file of settings
    When the file is changed so that it <fault> and it is told
    Then what was in force before still is

    Examples:
      | fault               |
      | cannot be read      |
      | names another vm    |
      | lacks its section   |

  Scenario: Each event of the code has a kind of line, and each kind its event
    When the events that the modules write are read
    Then they are those of the schema

  Scenario: The story of a refused request is told from the lines of two processes
    Given the logs of two processes with a refused and an answered request and a cut line
    When the refused request is explained
    Then its lines come in order and the cause names the times that were held against each other
    When the answered request is explained
    Then the cause names the backend that failed before

  Scenario: Lines are checked against the schema
    Given the logs of two processes with a refused and an answered request and a cut line
    When the logs are checked
    Then the cut line and the line without its fields are found
