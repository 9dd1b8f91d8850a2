Feature: Cold backends get no more than they tolerate from all entry processes together
  Entry processes, their callers and the backends are simulated, without a network. In any second a
  cold backend may get 1.5 times its rate, and 5 requests; with more it crashes.

  Scenario Outline: <engines> engines that become cold together are used up to their rate
    Given 46 entry processes whose callers want <demand> requests a second of engines that take 26 while cold
    When <engines> engines register, cold for 3 s
    Then none gets too many requests in any second
    And each gets at least <share> of its rate from 0.5 s on
    And the questions and replies of a process take <mean> bytes a second, and <most> at most

    Examples: demand below and above the rate of all
      | engines | demand | share | mean | most  |
      | 15      | 310    | 0.5   | 1800 | 7000  |
      | 15      | 500    | 0.8   | 8000 | 26000 |
      | 8       | 310    | 0.8   | 5000 | 18000 |

  Scenario Outline: The rate holds, and is used again, after the owner of a warm-up is killed
    Given <count> entry processes whose callers want 200 requests a second of engines that take 26 while cold
    When 4 engines register, cold for 20 s
    And the owner of the warm-up of one is killed for good after 3 s
    Then none gets too many requests in any second
    And none is without a request for more than 4 s
    And each gets at least 0.8 of its rate from 8 s on

    Examples: with full and with sampled broadcasts
      | count |
      | 8     |
      | 46    |

  Scenario: Two owners do not both grant for long after one that was cut off returns
    Given 46 entry processes whose callers want 200 requests a second of engines that take 26 while cold
    When 4 engines register, cold for 20 s
    And the owner of the warm-up of one is cut off from 3 s to 9 s
    Then none gets too many requests in any second
    And each gets at least 0.8 of its rate from 11 s on

  Scenario: A process that is cut off sends nothing to a cold backend, and does not replace its owner
    Given 46 entry processes whose callers want 200 requests a second of engines that take 26 while cold
    When 4 engines register, cold for 20 s
    And a process that owns no warm-up is cut off after 3 s
    Then none gets too many requests in any second
    And that process has sent nothing since

  Scenario: A process that starts during a warm-up keeps to it
    Given 46 entry processes whose callers want 200 requests a second of engines that take 26 while cold
    When 4 engines register, cold for 12 s
    And a process that owns no warm-up starts anew after 3 s
    Then none gets too many requests in any second
    And that process is granted sends

  Scenario: Backends that become cold while they are in use get their rate once it is known
    Given 46 entry processes whose callers want 500 requests a second of engines that take 26 while cold
    When 8 engines register, cold for 0 s
    And after 3 s they become cold for 6 s
    Then none gets too many requests in any second from 1 s on
    And each gets at least 0.8 of its rate from 2 s on

  Scenario: An owner that has not heard that a backend is cold learns it with the question
    Given 8 entry processes whose callers want 400 requests a second of engines that take 26 while cold
    When 4 engines register, cold for 0 s
    And all processes but the owner learn that one is cold for 6 s
    Then none gets too many requests in any second from 0 s on

  Scenario: A zone that returns from an evacuation is warmed up as a whole
    Given 46 entry processes whose callers want 500 requests a second of engines that take 26 while cold
    When 8 engines register, cold for 0 s
    And after 3 s the warm-up of their zone starts
    Then none gets too many requests in any second from 1 s on
    And each gets at least 0.8 of its rate from 1 s on

  Scenario: Engines of a service that declares no rate are sent to as they register
    Given 8 entry processes whose callers want 100 requests a second of engines that take 0 while cold
    When 4 engines register, cold for 3 s
    Then no owner was asked
