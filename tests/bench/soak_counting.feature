Feature: What is counted in a soak

  Scenario Outline: A caller's request is counted as what the caller got
    When a request ends as <ending> with status <status> and a body that is <body>
    Then it is counted as <outcome>

    Examples:
      | ending        | status | body     | outcome       |
      | complete      | 200    | whole    | whole         |
      | complete      | 200    | short    | cut           |
      | lost          | 200    | short    | cut           |
      | lost          | 200    | whole    | cut           |
      | abandoned     | 200    | short    | abandoned     |
      | abandoned     | 0      | short    | abandoned     |
      | lost          | 0      | short    | closed        |
      | no-connection | 0      | short    | unconnected   |
      | complete      | 429    | short    | refused       |
      | complete      | 503    | short    | refused       |
      | complete      | 502    | short    | gateway_error |
      | complete      | 504    | short    | gateway_error |
      | complete      | 500    | short    | other         |

  Scenario: Arrivals at any backend beyond the first of a request are repeats
    When requests a, b, a, c, a and b arrive one second apart
    Then repeats are counted at 2, 4 and 5 seconds

  Scenario: The worst window uses most of its bound
    Given 10 requests a second for 40 seconds
    When 3 repeats come around 5 seconds and 12 around 31 seconds
    Then the worst window has 12 repeats of 100 requests

  Scenario: Requests of the window before count where they are more
    Given 10 requests a second for 10 seconds
    When 1 repeats come around 12 seconds and 0 around 0 seconds
    Then the worst window has 1 repeats of 80 requests

  Scenario: Refused streams are left out of the late share
    Given streams that are whole after 1, 2 and 3 seconds, one that is cut and one that is refused
    Then half of the accepted ones are later than 2 seconds
