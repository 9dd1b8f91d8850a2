Feature: Chunk tables

  Scenario: A table lists the bytes of every file
    Given files of random sizes
    When a table is built from them
    Then its chunks cover each file without gaps
    And the encoded table parses to the same table

  Scenario: A damaged table is refused
    Given files of random sizes
    When a table is built from them
    Then no table with a flipped byte parses

  Scenario Outline: A table with a bad path is refused
    When a table names the file "<path>"
    Then the table has a fault

    Examples:
      | path        |
      | ../secret   |
      | /etc/passwd |
      | a/../../b   |
      | a\b         |
