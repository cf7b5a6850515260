Feature: prompt parts that terminate upstreams are told from the other parts of lost requests

  Scenario Outline: engines that terminate under one part, simulated, <case>
    Guards against engines that terminate for as long as new requests with one part come, and against harmless parts that are refused with it.
    When <engines> engines get <sound> sound requests a second and <rate> with a part that terminates engines <case>, for 20 seeds
    Then at most 3 requests with the part run later than 3 s after its fifth termination, and no other part is quarantined

    Examples:
      | engines | sound | rate | case               |
      | 10      | 30    | 1    | from the start     |
      | 10      | 30    | 3    | from the start     |
      | 13      | 80    | 3    | from the start     |
      | 32      | 80    | 10   | from the start     |
      | 13      | 5     | 1    | after 5 s          |
      | 13      | 80    | 3    | after 5 s          |
      | 32      | 30    | 3    | after 5 s          |

  Scenario: engines that terminate for other reasons, simulated
    Guards against parts that are refused since engines were lost: a first part that all requests have is at each of them.
    When 13 engines get 30 sound requests a second, and racks of 2 to 13 engines terminate 11 times within 20 s, for 50 seeds
    Then no part is quarantined

  Scenario: a part of sound requests that were lost at each termination
    Guards against sound requests that are refused, since all upstreams terminated so soon that no answer could clear their part.
    When 5 upstreams terminate, 400 ms apart, each with one request with a part and two with another part, and nothing is answered
    Then only the part of the fewer requests is to be quarantined

  Scenario: a request that is sent from one terminating upstream to the next
    When one request with a part is lost at 6 upstreams, 400 ms apart
    Then no part is a candidate

  Scenario: an answer that had begun before the terminations
    When requests with a part are lost at 4 upstreams, 400 ms apart, and an answer to one that began before them is completed
    Then the part is a candidate

  Scenario: an answer that began after the terminations
    When requests with a part are lost at 4 upstreams, 400 ms apart, and an answer to one that began after them is completed
    Then no part is a candidate
