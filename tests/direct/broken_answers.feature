Feature: What a backend sends is an answer only if its head and its end are sound
  Both plain backends and both engines answer each request with the same raw bytes.

  Scenario Outline: A sound answer with the status line "<line>" reaches its caller, however its bytes come
    Given the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    When the backends answer each kind of request with the status line "<line>"
    Then each caller gets the answer

    Examples: usual and odd forms
      | line                                                      |
      | HTTP/1.1 200 OK                                           |
      | HTTP/1.1 200                                              |
      | HTTP/1.0 200 OK                                           |
      | HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK |

  # Guards against a status that is none and reaches callers: "HTTP/1.1 0", with the backend's signature.
  Scenario Outline: An answer with the status line "<line>" reaches no caller
    Given the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    When the backends answer each kind of request with the status line "<line>"
    Then each caller gets a 502 that says that it may have run

    Examples: passed on before
      | line            |
      | HTTP/1.1 000 OK |
      | HTTP/1.1 099 OK |
      | HTTP/1.1 600 OK |
      | HTTP/1.1 999 OK |
      | HTTP/2.0 200 OK |

    Examples: refused by the parser as well
      | line             |
      | HTTP/1.1 20 OK   |
      | HTTP/1.1 1000 OK |
      | HTTP/1.1 2x0 OK  |
      | HTTP/1.1 -20 OK  |
      | HTTP/1.1 OK      |
      | HTTP/1.x 200 OK  |
      | HTTP/9.9 200 OK  |
      | ICY 200 OK       |

  # Guards against lines that are passed on, and bodies that are cut or framed by them.
  Scenario Outline: An answer with the line "<line>" in its head reaches no caller
    Given the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    When the head of the answer has a line "<line>" in any place
    Then each caller gets a 502 that says that it may have run

    Examples: passed on before, in one place or way at least
      | line                          |
      | Connection : 3                |
      | Upgrade : 3                   |
      | Connection x: 3               |
      | Content-Length x: 3           |
      | Content-Length : 3            |
      | Transfer-Encoding x: chunked  |
      | Transfer-Encoding : chunked   |
      | \x20X-Foo: bar               |
      | \tX-Foo: bar                 |

    Examples: refused by the parser as well
      | line          |
      | X Foo: bar    |
      | X-Foo : bar   |
      | X-\x01Foo: bar |
      | X-\x7fFoo: bar |
      | X-Foo\x0b: bar |
      | X-Foo         |
      | : bar         |

  # Guards against the sizes of chunks as a part of the body, as the coding itself is not passed on.
  Scenario Outline: An answer in chunks with the transfer coding "<coding>" reaches no caller
    Given the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    When the backends frame each kind of answer by the coding "<coding>"
    Then each caller gets a 502 that says that it may have run

    Examples: passed on before
      | coding            |
      | xchunked          |
      | gzip              |
      | chunked, identity |
      | chunked;a         |
      | chunked,          |
      | \x0bchunked       |
      | chunked, chunked  |

  # Guards against a body that is one byte too long: data of a chunk that ended with a line feed alone was passed on.
  Scenario Outline: An answer whose chunks are "<chunks>" reaches no caller
    Given the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    When the body of each kind of answer is "<chunks>"
    Then each caller gets a 502 that says that it may have run

    Examples: passed on before
      | chunks                                  |
      | 3\r\nab\r\n0\r\n\r\n                    |
      | 3;a=b\r\nab\r\n0\r\n\r\n                |
      | 2\r\nab\r\n3\r\ncd\r\n0\r\n\r\n          |

    Examples: refused before, after the time limit of the request
      | chunks                                  |
      | 2\r\nabc\r\n0\r\n\r\n                   |
      | 4\r\nab\r\n0\r\n\r\n                    |

  Scenario Outline: An answer whose chunks are "<chunks>" is passed on
    Given the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    When the body of each kind of answer is "<chunks>"
    Then each caller gets the body "<body>"

    Examples: usual and odd forms
      | chunks                                       | body   |
      | 2\r\nab\r\n0\r\n\r\n                         | ab     |
      | 2;a=b\r\nab\r\n3\r\ncde\r\n0\r\nT: 1\r\n\r\n | abcde  |
      | 3\r\nab\r\r\n0\r\n\r\n                       | ab\r   |

  # Guards against a part of a body that is passed on as whole: the reset of an answer without a length went unseen.
  Scenario Outline: An answer to a long upload without a length that ends in a <end> is not whole, on the loop of <loop>
    Given the event loop of <loop>
    And the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    And the process reads each body <late> ms after its head, as a busy one does
    When they answer uploads of <kilobytes> KB before they read them, without a length, and <end> them after 0 to 5 turns
    Then each caller gets a 502 that says that it may have run

    Examples: ends
      | loop    | kilobytes | end   | late |
      | asyncio | 3500      | reset | 20   |
      | uvloop  | 3500      | reset | 20   |
      | uvloop  | 3500      | reset | 0    |
      | uvloop  | 0         | reset | 20   |
      | asyncio | 3500      | close | 20   |
      | uvloop  | 3500      | close | 20   |

  # Guards against a stream that looks complete because it broke between two events.
  Scenario Outline: A stream without a length that ends in a <end> between two events <looks>, on the loop of <loop>
    Given the event loop of <loop>
    And the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    When they answer streams with an event and no length, and <end> them after 0 to 5 turns
    Then each stream <looks>

    Examples: ends
      | loop    | end   | looks                |
      | asyncio | reset | does not look whole  |
      | uvloop  | reset | does not look whole  |
      | uvloop  | close | looks whole          |

  # Such an answer is whole: its length, its last chunk or the end of the connection in order says so.
  Scenario Outline: An answer to an upload of <kilobytes> KB <when> it is read is whole if it has <framing>, on the loop of <loop>
    Given the event loop of <loop>
    And the users' platform with backends that answer with raw bytes
    And one entry process that is ready
    When they answer uploads of <kilobytes> KB <when> they read them, with <framing>
    Then each caller gets the answer

    Examples: sound
      | loop    | kilobytes | when   | framing   |
      | asyncio | 3500      | before | a length  |
      | asyncio | 3500      | before | chunks    |
      | uvloop  | 3500      | before | a length  |
      | uvloop  | 3500      | before | chunks    |
      | asyncio | 3500      | after  | its end   |
      | uvloop  | 3500      | after  | its end   |
      | uvloop  | 0         | after  | its end   |
