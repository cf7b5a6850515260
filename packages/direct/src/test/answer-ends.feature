Feature: ends of answers whose caller reads slowly

  Scenario Outline: <end> a <kind> answer, framed by its <framing>, while its reader pauses
    Guards against a caller whose whole answer is cut off, or who takes a part of an answer for all of it: an entry judges by the close of the
    upstream's connection, with the last bytes not passed on yet.
    When the connection "<end>" a "<kind>" answer that is framed by its "<framing>" while its reader pauses
    Then the exchange ends as "<outcome>"

    Examples:
      | end              | kind   | framing    | outcome |
      | closes after     | plain  | length     | whole   |
      | is reset after   | plain  | length     | whole   |
      | closes within    | plain  | length     | lost    |
      | closes after     | plain  | chunks     | whole   |
      | closes within    | plain  | chunks     | lost    |
      | closes after     | plain  | connection | whole   |
      | is reset after   | plain  | connection | lost    |
      | closes after     | stream | length     | whole   |
      | closes after     | stream | chunks     | whole   |
      | is reset after   | stream | chunks     | whole   |
      | closes within    | stream | chunks     | lost    |
      | closes after     | stream | connection | whole   |
      | is reset after   | stream | connection | lost    |
