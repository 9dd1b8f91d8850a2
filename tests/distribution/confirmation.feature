Feature: What the origin sends is believed once two answers are equal

  # Guards against single wrong answers that are believed, and against right ones that never are.
  Scenario: Wrong answers in any order do not keep the right one from being believed
    When the origin sends single wrong answers among right ones
    Then only the second right answer is believed

  # Guards against a manifest that is read again with each chunk that the origin corrupts.
  Scenario: A manifest is doubted when the origin repeats a chunk, and read again every 2 s at most
    When the origin sends chunks that do not match
    Then different wrong bytes are no doubt, and equal ones are one in 2 seconds
