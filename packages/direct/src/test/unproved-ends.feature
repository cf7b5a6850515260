Feature: answers whose end is not proved

  Scenario Outline: the connection of <kind> without a length <ending>, to <request>
    Guards against a part of an answer that is passed on as all of it: an entry that is busy reads the last data and a reset in one turn of its
    event loop, and the reset looks like an orderly end.
    When the connection of "<kind>" without a length "<ending>" after its last data, to "<request>", while the process is busy
    Then each of 10 exchanges ends as "<outcome>"

    Examples:
      | kind          | request     | ending                 | outcome |
      | a stream      | a read      | is reset               | reset   |
      | a stream      | a read      | is reset later         | lost    |
      | a stream      | a read      | closes                 | whole   |
      | a stream      | a read      | closes, is reset later | whole   |
      | small answer  | a read      | is reset               | reset   |
      | small answer  | a read      | closes                 | whole   |
      | small answer  | a booking   | is reset               | reset   |
      | small answer  | a booking   | closes                 | whole   |
      | small answer  | 5 MB upload | is reset               | lost    |
      | small answer  | 5 MB upload | closes                 | whole   |
      | large answer  | a read      | is reset               | reset   |
      | large answer  | a read      | closes                 | whole   |
      | large answer  | 5 MB upload | is reset               | lost    |
      | paused answer | a read      | is reset               | reset   |
      | paused answer | a read      | closes                 | whole   |

  Scenario Outline: an upstream that <state> when the connection of its answer ends in an orderly way
    Guards against a part of an answer that is passed on as all of it: the upstream's process ends, and its kernel closes its connections.
    When the connection of "a stream" without a length ends in an orderly way, and its upstream "<state>"
    Then the exchange ends as "<outcome>" after <checks> checks whether it listens

    Examples:
      | state                       | outcome       | checks |
      | listens                     | whole         | 1      |
      | does not listen             | not-running | 1      |
      | can't be checked            | unknown       | 1      |
      | is checked for 150 ms       | whole         | 1      |
      | is checked after an abandon | none          | 1      |
      | is checked after an ignore  | none          | 1      |

  Scenario Outline: the check of an upstream whose answer has a <framing>
    Guards against sound answers that are delayed although they tell their own end.
    When an answer that is framed by its "<framing>" ends
    Then it is whole after 0 checks whether its upstream listens

    Examples:
      | framing |
      | length  |
      | chunks  |
      | status  |

  Scenario: connections that are used again
    Guards against listeners that add up on a connection.
    When 30 requests are answered on 1 connection
    Then the connection has as many listeners as after the first of them
