Feature: What callers of the proxied mode send arrives unchanged

  Background:
    Given running processes with a service

  # Guards against bodies that arrive decoded and targets that arrive in another form.
  Scenario Outline: A request for <target> reaches the service as sent, with <body> of encoding "<encoding>"
    When a caller sends <body> with Content-Encoding "<encoding>" to "<target>" of the service
    Then the service received the target, the encoding and the body as sent

    Examples:
      | target           | encoding | body         |
      | /x?              | gzip     | a gzip body  |
      | //x%2f%2F%e9?+;= | br       | random bytes |
      | /%0a%20?%0a%20#? | gzip     | text         |

  # Guards against encoded answers that reach callers without the name of their encoding.
  Scenario: An answer that the service has encoded reaches the caller as sent
    When a caller sends text with Content-Encoding "identity" to "/gzip/x" of the service
    Then the answer has the Content-Encoding "gzip", and decoded it is that of the service

  Scenario: A target that does not fit into a request line is refused by the endpoint process
    Then the endpoint process refuses the path "/a HTTP/1.1"
