Feature: Parser of event streams

  Scenario: Any stream, cut at any places, has the events of the format and keeps its bytes
    Then random streams have the events that the format defines, at once after each piece

  Scenario Outline: An event is whole as soon as its empty line has begun
    When the pieces "<pieces>" are received
    Then the parts returned are "<parts>"

    Examples:
      | pieces                          | parts                         |
      | id: 1\r\r,\n,id: 2\r            | id: 1\r\r,\n,                 |
      | id: 1\r\n\r,\nid: 2,\r\n\r,\n   | id: 1\r\n\r,\n,id: 2\r\n\r,\n |
      | id: 1\r,\n\r,\n                 | ,id: 1\r\n\r,\n               |
      | id: 1\r,\n,\n                   | ,,id: 1\r\n\n                 |
      | id: 1\r,\r                      | ,id: 1\r\r                    |

  Scenario: The marks of a stream that is joined to another one are left out once
    Then random streams that begin with a mark lose it, and only it, if they are joined

  Scenario: A long event in small pieces is not read again with each of them
    When an event of 400000 bytes is received in pieces of 7 bytes
    Then it is returned whole, and each byte was read at most twice
