Feature: The data of a chunk ends where its size says

  Scenario: Sound chunks are sound wherever their bytes are cut
    When chunks of any bytes come in any pieces
    Then they are sound

  # Guards against a body that is one byte too long, as its last line end was taken for a line feed.
  Scenario: A chunk whose size is too large by one is not sound
    When chunks of any bytes come in any pieces, one of them with a size that is too large by one
    Then they are not sound
