Feature: What callers get under load
  The placing of entry processes is played in simulated time on a model of engines. The bound
  is the same placing where each process knows at once what the others send.

  Scenario Outline: Callers get nearly what placing with full knowledge would give them
    When a load of <load> times what the engines can do is played
    Then callers get at least 0.95 of what full knowledge gives
    And the largest requests get at least 0.9 of what they would then get

    Examples:
      | load |
      | 0.5  |
      | 0.8  |

  Scenario: Many entry processes serve as well as few
    When 45 entry processes and 27 engines play a load of 0.8 with pulses at their allowed rate
    Then callers get at least 0.9 of what is owed

  Scenario: Engines load newer weights in turns while callers are served
    When all engines load once within 2.8 s at a load of 0.6
    Then callers get at least 0.9 of what is owed

  Scenario: Nothing is held back: what is refused is told when to come back at once
    When a load of 1.3 times what the engines can do is played
    Then each refusal came at once and says when to come back
