Feature: Cold backends get no more than they tolerate from all entry processes together
  Simulated, without a network. In any second a cold backend may get less than 1.5 times its rate of
  26, and 5 requests; with more it crashes. Each row is an event by which it could get more, or none.

  Scenario Outline: <count> processes use <engines> cold engines at their rate, while <event>
    Given <count> entry processes, <engines> engines and <demand> requests a second for them
    When the engines are cold for <seconds> s, while <event>
    Then none gets too many in any second from <start> s on, or none for 4 s
    And each gets at least <share> of its rate from <late> s on
    And a process that is cut off sends nothing, and one that starts is granted sends
    And a process sends <messages> messages and <mean> bytes a second, at most <most>

    Examples: loads and faults
      | count | engines | demand | seconds | event                      | start | share | late | messages | mean | most  |
      | 46    | 15      | 310    | 3       | all is well                | 0     | 0.5   | 0.5  | 16       | 1900 | 7000  |
      | 46    | 15      | 500    | 3       | all is well                | 0     | 0.8   | 0.5  | 64       | 7500 | 26000 |
      | 46    | 8       | 310    | 3       | all is well                | 0     | 0.8   | 0.5  | 44       | 5000 | 18000 |
      | 8     | 4       | 200    | 20      | an owner is killed         | 0     | 0.8   | 8    | 64       | 7500 | 26000 |
      | 46    | 4       | 200    | 20      | an owner is killed         | 0     | 0.8   | 8    | 64       | 7500 | 26000 |
      | 46    | 4       | 200    | 20      | an owner returns           | 0     | 0.8   | 11   | 64       | 7500 | 26000 |
      | 46    | 4       | 200    | 20      | a process is cut off       | 0     | 0.8   | 1    | 64       | 7500 | 26000 |
      | 46    | 4       | 200    | 12      | a process starts           | 0     | 0.8   | 1    | 64       | 7500 | 26000 |
      | 46    | 8       | 500    | 6       | they were in use before    | 1     | 0.8   | 2    | 64       | 7500 | 26000 |
      | 46    | 8       | 500    | 3       | their zone comes back      | 1     | 0.8   | 1    | 64       | 7500 | 26000 |
      | 8     | 1       | 400    | 6       | the owner has not heard it | 0     | 0.8   | 1    | 90       | 7500 | 26000 |
