Feature: A version spreads as far as the origin, its outage and the links allow

  # Guards against a rollout that stands still during an outage of the origin, and goes on long
  # after its return: engines had the version 3.3 s (first) and 8.1 s (half) after the bound.
  Scenario Outline: The origin is away in the middle of a rollout
    Given entry processes of two regions, and engines with links of 3.65 to 4.7 Mbit/s
    And an origin with a link of <megabits> Mbit/s
    When a version of <chunks> chunks of <size> bytes is set, and the origin <fault> from 2.5 to 8.5 s
    Then during the outage every engine gets the chunks that had left the origin
    And the first engine has the version within 0.5 s of the bound, half of them within 3 s
    And the origin sent each chunk of version 2 at most once

    Examples:
      | megabits | chunks | size  | fault       |
      | 4.4      | 48     | 49152 | is silent   |
      | 4.4      | 96     | 24576 | refuses all |
