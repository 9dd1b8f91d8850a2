Feature: Pauses that sources of weights and the key-value service ask for
  A service may refuse with a Retry-After. A value that is no number of seconds asks for no pause.

  Scenario Outline: A pause of "<value>" is <seconds> s
    When a source of weights and the key-value service refuse with the pause "<value>"
    Then both errors name a pause of <seconds> s

    Examples:
      | value                         | seconds |
      | 2.5                           | 2.5     |
      | 0                             | 0       |
      | Fri, 04 Dec 2026 13:00:00 GMT | 0       |
      | -3                            | 0       |
      | inf                           | 0       |
      | nan                           | 0       |
      | soon                          | 0       |
