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

    Examples: outage
      | megabits | chunks | size  | fault       |
      | 4.4      | 48     | 49152 | is silent   |
      | 4.4      | 96     | 24576 | refuses all |

  # Guards against a chunk that nobody gets while its owner alone cannot reach the origin, as only
  # owners go there.
  Scenario: The owner of a chunk is cut off from the origin
    Given entry processes of two regions, and engines with links of 3.65 to 4.7 Mbit/s
    And an origin with a link of 15 Mbit/s
    And the owner of chunk 0 of version 2 cannot reach the origin
    When version 2 of 12 chunks of 24576 bytes is set
    Then all engines have it within 8 seconds
    And the origin sent each chunk of version 2 at most once

  # Guards against chunks that are lost with their owner, though others hold them.
  Scenario: The owner of a chunk is killed while the origin is away
    Given entry processes of two regions, and engines with links of 3.65 to 4.7 Mbit/s
    And an origin with a link of 15 Mbit/s
    When version 2 of 12 chunks of 24576 bytes is set, and one engine has it before the others start
    And the owner of chunk 0 is killed while the origin is silent
    Then all engines have it within 8 seconds

  # Guards against a return of the origin that is noticed when the last request times out.
  Scenario: A request without an answer does not keep others from the origin
    Given requests to an origin that answers none of the first three
    Then a fourth is sent within 0.8 s, and its answer ends the others at once

  # Guards against what is read again, or for long by nobody, after a reader is killed: engines had
  # a version 4 to 15 s after the bound, and up to six copies left the origin.
  Scenario: Readers are killed and others start while a version is read
    Given entry processes of two regions, and engines with links of 3.65 to 4.7 Mbit/s
    And an origin with a link of 6 Mbit/s
    When version 2 of 64 chunks of 32768 bytes is set
    And after 1 second a reader of it is killed and another entry process starts
    Then all engines have it within 8 seconds
    And the only chunks that leave the origin twice are the last two of the killed reader

  # Guards against transfers over narrow links that time out and begin again without end.
  Scenario: A version is set while the links of all entry processes are narrow
    Given entry processes of two regions behind links of 3 Mbit/s, and engines
    And an origin with a link of 15 Mbit/s
    When version 2 of 48 chunks of 49152 bytes is set
    Then the first engine has it within 12 seconds, and all engines within 25

  # Guards against a link that more fetches use than it carries, or that is idle between two.
  Scenario: Fetches share the link
    When fetches begin and end on a link in any order
    Then their shares never exceed the link, and a single one has most of it
