Feature: Settings and manifests are checked before anything starts

  Scenario Outline: A fault names the key and says what is wrong
    When the <kind> "<text>" is checked
    Then a fault names "<path>" and says "<message>"

    Examples:
      | kind     | text                                                     | path            | message                   |
      | settings | {                                                        |                 | is not JSON               |
      | settings | {"format": 1, "format": 1}                               |                 | Duplicate key             |
      | settings | {"format": 1, "rolle": "entry"}                          |                 | 'rolle' was unexpected    |
      | settings | {"format": 1, "listen": "300.1.1.1:80"}                  | listen          | does not match the expected format |
      | settings | {"format": 1, "listen": "10.1.1.1:70000"}                | listen          | does not match the expected format |
      | settings | {"format": 1, "links": {"upload_bytes_per_second": -1}}  | links.upload_bytes_per_second | less than the minimum |
      | settings | {"format": 1, "shutdown_seconds": "60 s"}                | shutdown_seconds | is not of type 'number'  |
      | manifest | []                                                       |                 | is not of type 'object'   |
      | manifest | {"format": 2, "releases": []}                            | format          | 1 was expected            |
      | manifest | {"format": 1, "releases": [{"role": "a", "model": {"name": "m", "version": "v", "table": "xyz", "size_bytes": -1}}]} | releases.0.model.size_bytes | less than the minimum |
      | manifest | {"format": 1, "releases": [], "workspaces": [{"name": "a"}, {"name": "a"}]} | workspaces | a is listed twice |

  Scenario: All faults of a file are found at once
    When the settings "{"format": 2, "role": "chef", "vm": "", "x": 1}" is checked
    Then there are at least 5 faults

  Scenario: Faults found by the schema and by the further rules are reported together
    When the manifest "{"format": 2, "releases": [], "workspaces": [{"name": "a"}, {"name": "a"}]}" is checked
    Then a fault names "format" and says "1 was expected"
    And a fault names "workspaces" and says "a is listed twice"

  Scenario: Comments and a byte order mark are allowed
    When a settings file with comments and a byte order mark is checked
    Then it has no faults

  Scenario: An oversized document is refused before it is decoded
    When a document of two million bytes is checked
    Then a fault names "" and says "bytes; at most"

  Scenario: The checks raise no exception, whatever the input
    Then random bytes and random JSON give faults or a document, never an exception
