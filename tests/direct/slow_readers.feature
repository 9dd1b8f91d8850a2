Feature: Callers and backends that read or send slowly
  Runs on the stand-in of the users' platform, with real sockets on loopback. Streams have 128
  events of 16 KiB.

  Background:
    Given the users' platform with two plain backends and two engines
    And streams of 128 events of 16 KiB

  Scenario: A stream whose caller does not read is paused at its backend
    Guards against buffers without bound, and against a backend that is blamed for its caller.
    Given an entry process with a memory limit of 200 MB
    When a caller opens a long stream and does not read for 2 s
    Then the backend has sent less than 48 events and the process holds at most 600000 bytes
    When the caller reads on
    Then it gets all 128 events from one run, and no backend is blamed

  Scenario: A caller that reads slowly but steadily gets its whole answer
    Guards against backends that cut off an answer that is unread for some time.
    Given an entry process with a memory limit of 200 MB
    And engines cut off streams that are unread for 1 s
    When a caller opens a long stream and reads 16 KiB each 25 ms
    Then it gets all 128 events from one run, and no backend is blamed

  Scenario: A backend that cuts off an unread stream is not blamed, and the stream is resumed
    Guards against requests that count as poison because their callers read slowly.
    Given an entry process with a memory limit of 200 MB
    And engines cut off streams that are unread for 1 s
    When a caller opens a long stream and does not read for 2 s
    And the caller reads on
    Then it gets all 128 events from two runs, and no backend is blamed

  Scenario: Many callers that do not read are cut off before memory runs out
    Guards against a sum of bounded buffers that is not bounded.
    Given an entry process with a memory limit of 8 MB
    When 12 callers open long streams and do not read for 1 s
    Then the process held at most 1000000 bytes, and some of the callers are cut off
    And all held bytes are released once they have gone

  Scenario: Many bodies at once are refused with a Retry-After before memory runs out
    Guards against bodies of admitted requests that together exceed the memory.
    Given an entry process with a memory limit of 8 MB
    And all plain backends are "slow"
    When 12 callers book at once with bodies of 90000 bytes
    Then some are answered, the others are refused for lack of memory with a Retry-After
    And the process held at most 750000 bytes
    And all held bytes are released once they have gone

  Scenario: Slow bodies hold only what has arrived, and end after a time
    Guards against callers that fill the memory of a process with announcements of bodies.
    Given an entry process with a memory limit of 8 MB
    And bodies may take 0.6 s
    When 20 callers announce bodies of 90000 bytes and send 1000 bytes of each
    Then a booking with a body of 90000 bytes is answered meanwhile
    And the slow callers get a 408
    And all held bytes are released once they have gone

  Scenario: A whole answer that its caller does not read is abandoned
    Guards against answers that are held for as long as a connection stays open.
    Given an entry process with a memory limit of 200 MB
    And whole answers are 2000000 bytes long and may stand still for 0.3 s
    When a caller looks something up and does not read the answer
    Then the process holds at least 2000000 bytes for it
    And all held bytes are released once they have gone

  Scenario: A whole answer that its caller reads slowly but steadily arrives complete
    Guards against a limit on the whole time of an answer.
    Given an entry process with a memory limit of 200 MB
    And whole answers are 2000000 bytes long and may stand still for 0.3 s
    When a caller looks something up and reads 32 KiB each 25 ms
    Then it gets 2000000 bytes and more
