Feature: Readers of a version share the origin

  # Guards against chunks that leave the origin twice, or never, as processes judge it differently.
  Scenario: Readers that stop, start and lose the origin read each chunk once
    When readers of a version stop, start, and lose and regain the origin at any time
    Then no reader requests a chunk that another one holds or receives
    And every chunk is read as long as one reader reaches the origin

  # Guards against an owner of all chunks, and against readers that change with every process.
  Scenario: A version has three readers with equal shares
    When 12 entry processes are in the region of the origin
    Then each version has 3 readers with a third of its chunks each
    And without one reader the other two stay readers
    And without any other process no chunk changes its reader

  # Guards against a chunk whose bytes are wrong at the origin, which would hold back all others.
  Scenario: A chunk that the origin corrupts comes last
    When the origin has corrupted chunk 0 for its reader
    Then the reader requests all other chunks before it

  # Guards against inventories that differ between what is sent and what is received.
  Scenario: Inventories pass through their message unchanged
    When processes send inventories of up to 300 chunks
    Then they are received as they were sent, and malformed ones give an error

  # Guards against two readers that query each other before either has announced the chunk.
  Scenario: Readers that choose the same chunk at one moment read it once
    When one of two readers starts up to 0.1 s after the other and queries take 0.01 s
    Then the only chunk is read once whenever it starts
