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
