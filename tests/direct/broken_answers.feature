Feature: What a backend sends is an answer only if its head and its end are sound
  Both plain backends and both engines answer each request with the same raw bytes.

  Background:
    Given the users' platform with backends that answer with raw bytes
    And one entry process that is ready

  Scenario: A sound answer of such a backend reaches its caller, however its bytes come
    When the backends answer each kind of request with the status line "HTTP/1.1 200 OK"
    Then each caller gets the answer

  # Guards against a status that is none and reaches callers: "HTTP/1.1 0", with the backend's signature.
  Scenario Outline: An answer with the status line "<line>" reaches no caller
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
