Feature: Answers that fall silent at any byte and go on
  # Guards against answers that are ended, or run again, for a silence of a sound backend.

  Background:
    Given the users' platform with two plain backends and two engines
    And one entry process that is ready

  Scenario: Answers of each kind are whole wherever their backends fall silent
    Then answers of each kind that are silent for 0.5 to 2.5 s at any byte are whole
    And no unsafe request ran twice

  Scenario: Streams that fall silent at one engine and then at the other are whole
    Then streams of which each run is silent for 0.5 to 2 s at any byte are whole

  Scenario Outline: Silent sends are kept though their backends <leave>
    When the backends <leave> while they are silent in answers of each kind
    Then these answers are whole all the same
    And no unsafe request ran twice

    Examples: ways
      | leave               |
      | drain               |
      | deregister          |
      | say that they leave |
