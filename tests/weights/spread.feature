Feature: Decisions of the spread

  Scenario: Every chunk has one sponsor
    Then for random fleets exactly one VM draws a chunk first, in all or in each region
    And without that VM exactly the next in order takes its place

  Scenario: The picker agrees with a naive one
    Then for random holdings it picks a rarest chunk that some peer can send

  Scenario: A chunk with wrong bytes is never stored
    Then random wrong bytes are refused and right ones kept once

  Scenario: Background bytes get what live bytes leave
    Then a pacer keeps its rate with and without live bytes

  Scenario Outline: The policy follows the links
    When the origin link is <origin>, the region link <region> and there are <regions> regions
    Then the policy is "<policy>"

    Examples:
      | origin | region | regions | policy     |
      | 0      | 0      | 2       | once       |
      | 100    | 50     | 2       | once       |
      | 100    | 10     | 2       | per-region |

  Scenario Outline: A release gets room, or is refused before it starts
    When memory is <limit>, a release needs <needed> and the served one holds <served>
    Then the memory plan is "<plan>"

    Examples:
      | limit | needed | served | plan        |
      | 0     | 999    | 999    | fits        |
      | 100   | 60     | 40     | fits        |
      | 100   | 80     | 40     | drop-served |
      | 100   | 101    | 0      | too-large   |
