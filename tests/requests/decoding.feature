Feature: Encoded bodies of requests to models

  Scenario Outline: A model's request with <body> of encoding "<encoding>"
    Then <body> with Content-Encoding "<encoding>" is decoded to <result>

    Examples:
      | body         | encoding | result     |
      | a gzip body  | gzip     | its text   |
      | a zlib body  | Deflate  | its text   |
      | text         |          | itself     |
      | text         | gzip     | status 400 |
      | a cut body   | gzip     | status 400 |
      | random bytes | br       | status 415 |
      | a large body | gzip     | status 413 |
