Feature: Messages between processes

  Scenario: Every message survives encoding
    Then random messages of every type decode to themselves

  Scenario: Damaged bytes are refused, never half read
    Then no damaged message raises anything but the typed error
