Feature: What a backend of the proxied mode sends is an answer only if its head and its end are sound

  Background:
    Given a backend of the proxied mode that answers with raw bytes

  Scenario: A sound answer of such a backend passes both processes, however its bytes come
    When it answers a request and a stream with the status line "HTTP/1.1 200 OK"
    Then both are answered

  # Guards against a status that is none and reaches callers.
  Scenario Outline: An answer with the status line "<line>" passes no process
    When it answers a request and a stream with the status line "<line>"
    Then both may have run and have no answer

    Examples: status lines
      | line            |
      | HTTP/1.1 000 OK |
      | HTTP/1.1 099 OK |
      | HTTP/1.1 600 OK |
      | HTTP/1.1 999 OK |

  # Guards against a part of a body that is passed on as whole.
  Scenario Outline: An answer without a length to a long upload that is not read passes no process if it ends in a <end>
    When it answers an upload without a length before it reads it, and <end> it, to a process that reads late
    Then the upload may have run

    Examples: ends
      | end   |
      | reset |
      | close |
