Feature: Commands of verbenactl

  Scenario Outline: A wait without an answer from entry processes names no VM as lagging, <form>
    When an operator waits for a revision <form> and no entry process answers
    Then the exit status is 5
    And the output says "no entry process answers" but names no lagging VM

    Examples:
      | form    |
      | as text |
      | as JSON |
