Feature: Start times of backends whose time of day has jumped

  Scenario Outline: A backend that starts again with an earlier time of day is used once its old registration has ended
    # Guards against one that is left out until its own registration changes.
    Given a backend that was registered at start time 2000
    When another incarnation registers at its address with start time 1000
    And the registration of the first one ends <when>
    Then only the second one is used

    Examples:
      | when            |
      | in calm         |
      | after an outage |

  Scenario: A registration that an ended incarnation has left is not used after its successor has left
    Given a backend that was registered at start time 1000
    When another incarnation registers at its address with start time 2000
    And the registration of the first one comes again by an older copy
    And the registration of the second one ends in calm
    Then no backend is used
