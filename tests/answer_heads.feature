Feature: A head is judged before it is parsed

  # Guards against verdicts that depend on the parser or on packets, and against fields that change on their way.
  Scenario Outline: Any head is refused, or handed on as a strict reader reads it, by the <parser> parser
    Then drawn heads are read by the <parser> parser as by a strict reader, wherever they are cut

    Examples: parsers of aiohttp
      | parser |
      | C      |
      | Python |

  # The same heads as in http_client.feature, there over connections and in fewer parts.
  Scenario Outline: No head with a wrong <part> is handed on, wherever it is cut
    Then no head with a wrong <part> is handed on by either parser, wherever it is cut

    Examples: parts
      | part         |
      | status line  |
      | known name   |
      | other name   |
      | leading byte |
      | value        |
      | framing      |
      | protocol     |

  # Guards against a line without end that fills the memory, and against a call that waits for its end.
  Scenario: A head that is not sound is refused before it is complete
    Then "HTTP/2" and "\x16\x03" are refused as they come
    And a status line and then "X Foo: 1\r\n" are refused as they come
    And a line of 100000 bytes and 1000 lines are refused before their end
