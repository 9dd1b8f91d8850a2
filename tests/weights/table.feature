Feature: Chunk tables

  Scenario: A table contains the bytes of every file
    Given files of random sizes
    When a table is built from them
    Then its chunks are the consecutive parts of each file
    And decoding the encoded table gives the same table

  Scenario: A damaged table is rejected
    Given files of random sizes
    When a table is built from them
    Then no encoded table with a changed byte is accepted

  Scenario Outline: A table with a path outside the release is rejected
    When a table contains the path "<path>"
    Then the table is invalid

    Examples:
      | path        |
      | ../secret   |
      | /etc/passwd |
      | a/../../b   |
      | a\b         |
