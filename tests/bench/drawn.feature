Feature: A soak whose troubles are drawn from a seed

  Scenario: Plan and traffic follow from the seed
    When plans are drawn twice for each of 20 seeds
    Then both plans of a seed are the same, and those of different seeds differ
    And all kinds of trouble are among them

  Scenario: A short drawn soak breaks no verdict
    When seed 5 of the drawn soak runs for 15 seconds
    Then at least 500 requests are answered whole
    And none of its verdicts is broken
