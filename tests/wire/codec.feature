Feature: Encoding of messages between processes

  Scenario: Decoding an encoded message returns the same message
    Then random messages of every type decode to themselves

  Scenario: Corrupt or truncated bytes raise a typed error
    Then corrupt messages raise no exception except the typed error
