Feature: Encoding of messages between processes

  Scenario: Decoding an encoded message returns the same message
    Then random messages of every type decode to themselves

  Scenario: Corrupt or truncated bytes raise a typed error
    Then corrupt messages raise no exception except the typed error

  # Guards against a process that ends as it frees a message whose last segment is cut off.
  Scenario: A message of several segments that is cut off raises the typed error
    When a message of 2000 items is cut off anywhere
    Then each part of it raises the typed error, and the whole one is decoded
