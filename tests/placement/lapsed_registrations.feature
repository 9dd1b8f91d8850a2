Feature: Registrations that end around an outage of the store

  Scenario Outline: A backend that leaves after an outage gets no request 2 s after the store has ended its registration
    # Guards against a grace that counts from when the end of a registration was learned, and is the whole bound.
    Given a backend whose registration ends <ended> s after the store has returned from <trouble>
    Then it is used until 1.7 s after the return if its registration lapsed in it
    And no request is sent to it from 0.2 s before the bound on

    Examples:
      | ended | trouble   |
      | 0     | an outage |
      | 0.7   | an outage |
      | 1.7   | an outage |
      | 2.5   | an outage |
      | 0     | a restore |
      | 1.7   | a restore |
