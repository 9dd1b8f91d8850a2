Feature: Distribution of weights between VMs

  Scenario: Exactly one VM reads a chunk from the sources first
    Then for random fleets exactly one VM of all, or of each region, may read a chunk at once
    And without that VM the next one in order replaces it and the order stays

  Scenario: The picker agrees with an exhaustive search
    Then for random peers and chunks it picks a rarest chunk that some peer can send

  Scenario: A chunk with wrong bytes is never stored
    Then random wrong bytes are rejected and the right ones stored once

  Scenario: Background transfers get the bandwidth that request traffic leaves
    Then a pacer keeps its rate with and without request traffic

  Scenario Outline: The distribution policy depends on the link rates
    When the origin link is <origin>, the region link <region> and there are <regions> regions
    Then the policy is "<policy>"

    Examples:
      | origin | region | regions | policy     |
      | 0      | 0      | 2       | once       |
      | 100    | 50     | 2       | once       |
      | 100    | 10     | 2       | per-region |

  Scenario Outline: A release gets memory, or is refused before its download starts
    When the memory limit is <limit>, a release needs <needed> and the served one <served>
    Then the memory plan is "<plan>"

    Examples:
      | limit | needed | served | plan        |
      | 0     | 999    | 999    | fits        |
      | 100   | 60     | 40     | fits        |
      | 100   | 80     | 40     | drop-served |
      | 100   | 101    | 0      | too-large   |
