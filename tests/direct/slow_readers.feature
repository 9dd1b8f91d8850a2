Feature: Callers and backends that read or send slowly
  Runs on the stand-in of the users' platform, with real sockets on loopback. Streams have 128
  events of 16 KiB, whole answers of look-ups 2 MB.

  Background:
    Given the users' platform with two plain backends and two engines
    And long streams and look-ups

  Scenario Outline: A stream whose caller does not read is paused at its backend, which <backend>
    Guards against buffers without bound, and against backends and requests that are blamed for a
    caller.
    Given an entry process with a memory limit of 200 MB
    And a limit of <seconds> s on unread streams
    When 1 callers send "POST /stream" and read nothing for 2 s
    Then the engines have sent less than 48 events and the process holds at most 600000 bytes
    And after reading on it gets all 128 events from <runs> runs, and no backend is blamed

    Examples:
      | backend   | seconds | runs |
      | waits     | 60      | 1    |
      | cuts it   | 1       | 2    |

  Scenario: A caller that reads slowly but steadily gets its whole stream
    Guards against backends that cut off an answer that is unread for some time.
    Given an entry process with a memory limit of 200 MB
    And a limit of 1 s on unread streams
    When a caller sends "POST /stream" and reads 16 KiB each 25 ms
    Then it gets all 128 events from 1 runs, and no backend is blamed

  Scenario: A whole answer is abandoned if its caller does not read it, not if it reads slowly
    Guards against answers that are held as long as a connection is open, and a limit on the whole
    time of an answer.
    Given an entry process with a memory limit of 200 MB
    And a limit of 0.3 s on unread answers
    When 1 callers send "GET /look" and read nothing for 0.2 s
    Then the process held 2 to 6 MB, and releases all
    When a caller sends "GET /look" and reads 32 KiB each 25 ms
    Then it gets 2000000 bytes and more

  Scenario: Many callers that do not read are cut off before memory runs out
    Guards against a sum of bounded buffers that is not bounded.
    Given an entry process with a memory limit of 8 MB
    When 12 callers send "POST /stream" and read nothing for 1 s
    Then some of the callers are cut off
    And the process held 0.5 to 1 MB, and releases all

  Scenario: Many bodies at once are refused with a Retry-After before memory runs out
    Guards against bodies of admitted requests that together exceed the memory.
    Given an entry process with a memory limit of 8 MB
    And all plain backends are "slow"
    When 12 callers book with bodies of 90000 bytes, of which they send 90000
    Then some get a 200, the others a 503 for lack of memory with a Retry-After
    And the process held 0.5 to 0.75 MB, and releases all

  Scenario: Slow bodies hold only what has arrived, and end after a time
    Guards against callers that fill the memory of a process with announcements of bodies.
    Given an entry process with a memory limit of 8 MB
    And a limit of 0.6 s on bodies
    When 20 callers book with bodies of 90000 bytes, of which they send 1000
    Then a booking with a body of 90000 bytes was answered meanwhile, and all of them get a 408
    And the process held 0.04 to 0.3 MB, and releases all
