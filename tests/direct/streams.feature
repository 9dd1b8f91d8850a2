Feature: Streams in all forms that the event-stream format allows

  # Guards against a stream that is read to its end and not forwarded.
  Scenario Outline: A stream whose lines end with <end> is forwarded unchanged
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And the engines end lines with "<end>" and begin streams with "<mark>"
    When a caller opens a stream
    Then it gets all events in order, once each, with these line ends and this mark

    Examples:
      | end  | mark |
      | \r\n | none |
      | \r   | none |
      | \r\n | BOM  |
      | \r   | BOM  |
      | \n   | BOM  |

  Scenario Outline: A stream is resumed at an engine that ends lines with <second> instead of <first>
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And the engines end lines with "<second>" and begin streams with "BOM"
    And one engine ends lines with "<first>" and breaks off in the middle of an event
    When callers open streams until that engine was tried
    Then the last one gets all events in order, once each, and at most one mark

    Examples:
      | first | second |
      | \r\n  | \n     |
      | \r    | \r\n   |
      | \n    | \r     |

  # Guards against a send that is never silent again after the LF of a forwarded CR.
  Scenario: A stream that stalls after a line end that was sent in two parts is resumed
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready
    And the engines end lines with "\r\n" and begin streams with "none"
    And one engine is "trickling"
    And the engines send the last byte of each event by itself
    When callers open streams until that engine was tried
    Then the last one gets all events in order, once each

  Scenario: The LF of a forwarded CR does not take the place of a send that goes on
    When the events "id: 1\rdata: a\r\r" are forwarded, and "\n" once another send waits beside them
    Then the other send is not superseded, and the LF is forwarded

  Scenario: A stream that breaks at any byte is resumed after its last whole event
    Then random streams that break at each byte go on with the same events

  Scenario: A stream whose events set no id is not begun anew in the middle
    When the events "data: a\n\n" are forwarded
    Then the stream may not be resumed

  Scenario Outline: The id after which a stream is resumed is that of the format
    When the events "<events>" are forwarded
    Then the stream is resumed after "<id>"

    Examples:
      | events                                  | id  |
      | id: 1\ndata: a\n\n                      | 1   |
      | id: 1\r\rid:2\r\r: note\r\r             | 2   |
      | id: 1\r\n\r\nid: 2\x00\r\ndata: b\r\n\r\n | 1 |
      | id: 4\nid: 5\ndata\n\nid: 6\ndata: cut  | 5   |
      | : note\n\n                              |     |

  Scenario: An id without a value leaves no event to resume after
    When the events "id: 1\ndata: a\n\nid\ndata: b\n\n" are forwarded
    Then the stream may not be resumed

  Scenario: Events that were forwarded before are not forwarded again, in whatever piece they come
    When the events "id: 1\ndata\n\nid: 2\ndata\n\nid: 02\ndata\n\nid: 3\ndata\n\n" are forwarded
    Then the stream is resumed after "2"
    And it is a failure of the backend
