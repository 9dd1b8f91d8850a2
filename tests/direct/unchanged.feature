Feature: What callers and backends send arrives unchanged

  Background:
    Given the users' platform with a backend that records what it receives
    And one entry process that is ready

  # Guards against encoded bodies that a backend receives decoded, or that are refused.
  Scenario Outline: A body with Content-Encoding "<encoding>" reaches its backend encoded
    When a caller sends <body> with Content-Encoding "<encoding>"
    Then the backend received the target, the headers and the body as sent

    Examples:
      | encoding | body         |
      | gzip     | a gzip body  |
      | deflate  | a zlib body  |
      | br       | random bytes |
      | zstd     | random bytes |
      | unknown  | random bytes |
      | gzip     | text         |
      | gzip     | chunked text |

  # Guards against targets that are parsed and put together again on their way.
  Scenario Outline: The target <target> reaches its backend as written
    When a caller sends a request to "<target>"
    Then the backend received the target, the headers and the body as sent

    Examples:
      | target                         |
      | /book/x?                       |
      | /book/x#f?                     |
      | /book/x?a#                     |
      | /book//x/../%2e                |
      | /book/%2f%2F%e9%E9;a=b?+%20;?? |
      | /book/%0a%00                   |

  Scenario Outline: An absolute target is reduced to its path and query
    When a caller sends a request to "<absolute>"
    Then the backend received the target "<target>"

    Examples:
      | absolute              | target        |
      | http://h/book/x?      | /book/x?      |
      | http://h/book/?a://b/ | /book/?a://b/ |

  # Guards against values that are lost when a name is repeated in another case.
  Scenario: Repeated headers all reach their backend in their order
    When a caller sends a request with the headers "X-R: 1, x-r: 2, X-R: 3, Cookie: a, cookie: b, X-R: 4"
    Then the backend received the target, the headers and the body as sent

  # Guards against bytes of headers that aiohttp's writer leaves out.
  Scenario Outline: A header value that is not UTF-8 reaches its backend as sent
    When a caller sends a <method> request with <body> and header values that are not UTF-8
    Then the backend received the target, the headers and the body as sent

    Examples:
      | method | body    |
      | POST   | text    |
      | POST   | no body |
      | GET    | no body |

  # Guards against bytes of headers that aiohttp's writer leaves out, and answers that it does not write.
  Scenario Outline: A header value (<values>) reaches the caller in <kind>
    When the backend answers a request to <target> with header values: <values>
    Then the caller received these values and the whole body

    Examples:
      | kind           | target  | values             |
      | a whole answer | /book/x | not UTF-8          |
      | a stream       | /look/x | not UTF-8          |
      | a whole answer | /book/x | control characters |
      | a stream       | /look/x | control characters |

  # Guards against a header that is written as two (header injection).
  Scenario: A head with a line end in a line is not written
    Then no head with a line end or NUL in its first line, a name or a value is written

  Scenario: Headers of one connection do not pass the entry process
    When a caller sends a request with the headers "Connection: x-hop, X-Hop: 1, TE: trailers, Keep-Alive: 1"
    Then the backend received no header of the caller

  Scenario: An answer that switches protocols is not forwarded
    When the backend answers with status 101
    Then the status is 502

  # Guards against a body in a coding that its backend is not told of.
  Scenario: A request with a transfer coding other than chunked is refused
    When a caller sends a request with the transfer codings gzip and chunked
    Then the status is 501
    And the backend received nothing

  Scenario: Any request reaches its backend as sent
    Then random requests reach the backend as sent

  Scenario: Any answer reaches its caller as sent
    Then random answers reach the caller as sent
