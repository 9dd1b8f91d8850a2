Feature: Backends as one entry process sees them

  Scenario Outline: A backoff is limited, however often a backend has failed
    # Guards against powers of two that do not fit into a float, which would end requests with an error.
    Given a backend that was found <fault> 2000 times in a row
    Then it is out of use for at most <seconds> s

    Examples:
      | fault        | seconds |
      | unresponsive | 6       |
      | misdirected  | 4       |
