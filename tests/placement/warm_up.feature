Feature: What an entry process knows of cold backends
  A backend that gets far more requests than its service declares for cold ones crashes.

  Scenario Outline: A cold time or rate of <value> in the <document> is read as <outcome>
    Then the value <value> in the <document> is read as <outcome>

    Examples: missing, good and malformed
      | document     | value   | outcome   |
      | service      | missing | 0         |
      | service      | 26      | 26        |
      | service      | -1      | malformed |
      | service      | "26"    | malformed |
      | service      | true    | malformed |
      | registration | missing | 0         |
      | registration | null    | 0         |
      | registration | 0       | 0         |
      | registration | 1500.5  | 1.5005    |
      | registration | "1500"  | malformed |
      | registration | -1      | malformed |
      | registration | true    | malformed |
      | registration | {}      | malformed |
      | registration | 1e300   | malformed |
      | answer       | 2500    | 2.5       |
      | answer       | -1      | 0         |
      | answer       | soon    | 0         |

  Scenario: The lower of a named limit and the rate applies, and nothing ends a warm-up early
    Given a backend registered as cold for 3 s, of a service that takes 26 a second
    Then it takes 10 a second if it names a limit of 10, whatever a process without limits reports
    And it takes 26 a second from 0 s on, 40 from 3 s on, if it names 40 and registers as warm
    And a refused grant does not outlast the warm-up, which is logged once

  Scenario: What a process finds at its start limits its own sends only, and a returned zone all
    Given a backend registered as cold for 3 s, of a service that takes 26 a second
    Then a process that finds it so at its start keeps to the rate, and does not tell the owner
    And the end of an evacuation of its zone begins a warm-up, that of another zone does not
    And a configuration without a rate, or with 0, ends the limit
