Feature: A planned stop of a process of the proxied mode

  # Guards against requests that are taken late in a stop and cut without an answer at its end.
  Scenario Outline: What still runs at the end of the stop of <vm> gets a whole answer
    Given running processes whose service takes 30 s for a request, with 4 s for a stop
    When reservations and look-ups are sent from before <vm> gets <signals> until it has ended
    Then each that reached the service is answered completely, and that it may have run
    And none that was sent later than <seconds> s after the signal reached the service
    And the process has ended within 5 s of the signal

    Examples: processes
      | vm        | seconds | signals                  |
      | entry-0   | 1.2     | SIGTERM                  |
      | service-0 | 0.2     | SIGTERM                  |
      | entry-0   | 1.2     | SIGTERM, SIGTERM, SIGINT |
      | service-0 | 0.2     | SIGTERM, SIGINT, SIGTERM |
