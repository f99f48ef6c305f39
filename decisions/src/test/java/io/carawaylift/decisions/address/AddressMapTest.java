package io.carawaylift.decisions.address;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.AddressBlockList;
import io.carawaylift.model.AddressBlockList.Block;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

final class AddressMapTest {
    /** Guards against a wider block that hides a narrower one, and against signed comparison of addresses. */
    @Test
    void theLongestPrefixApplies() {
        AddressMap map = AddressMap.of(Map.of(
                0,
                new AddressBlockList(List.of(
                        new Block("10.0.0.0/8", "wide"),
                        new Block("10.1.0.0/16", "narrow"),
                        new Block("10.1.2.3/32", "host"),
                        new Block("200.0.0.0/8", "high")))));

        assertThat(site(map, "10.1.2.3")).isEqualTo("host");
        assertThat(site(map, "10.1.2.4")).isEqualTo("narrow");
        assertThat(site(map, "10.2.0.0")).isEqualTo("wide");
        assertThat(site(map, "200.1.1.1")).isEqualTo("high");
        assertThat(map.siteOf("11.0.0.0")).isEqualTo(AddressMap.NO_SITE);
        assertThat(AddressMap.empty().siteOf("1.2.3.4")).isEqualTo(AddressMap.NO_SITE);
    }

    /** Guards against lost or stale blocks after a list is replaced, by comparison with a linear search. */
    @Test
    void updatedMapsAgreeWithALinearSearch() {
        Random random = new Random(61);
        Map<Integer, AddressBlockList> lists = new TreeMap<>();
        AddressMap map = AddressMap.empty();
        for (int round = 0; round < 40; round++) {
            int number = random.nextInt(6);
            AddressBlockList list = new AddressBlockList(blocks(random, random.nextInt(60)));
            lists.put(number, list);
            map = map.with(number, list);
            AddressMap rebuilt = AddressMap.of(lists);
            assertThat(map.size()).isEqualTo(rebuilt.size());
            for (int i = 0; i < 300; i++) {
                int address = random.nextInt() & 0x0F0FFFFF;
                String expected = linearSearch(lists, address);
                assertThat(name(map, map.siteOf(address))).isEqualTo(expected);
                assertThat(name(rebuilt, rebuilt.siteOf(address))).isEqualTo(expected);
            }
        }
    }

    /** Guards against malformed prefixes that are accepted silently. */
    @Test
    void errorsNameTheMalformedPrefix() {
        for (String prefix :
                List.of("10.0.0.0", "10.0.0/8", "10.0.0.0/33", "10.0.0.256/32", "10.0.0.1/24", "a/8", "")) {
            AddressBlockList list = new AddressBlockList(List.of(new Block(prefix, "site")));
            IllegalArgumentException failure =
                    assertThrows(IllegalArgumentException.class, () -> AddressMap.of(Map.of(0, list)));
            assertThat(failure).hasMessageThat().contains(prefix);
        }
    }

    private static List<Block> blocks(Random random, int count) {
        List<Block> blocks = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int length = random.nextInt(33);
            int address = random.nextInt() & 0x0F0FFFFF & Ipv4.mask(length);
            String text = (address >>> 24) + "." + ((address >>> 16) & 255) + "." + ((address >>> 8) & 255) + "."
                    + (address & 255);
            blocks.add(new Block(text + "/" + length, "site-" + random.nextInt(9)));
        }
        return blocks;
    }

    /** Returns the site by linear search; longer prefixes take precedence, then lower list numbers, then later entries. */
    private static String linearSearch(Map<Integer, AddressBlockList> lists, int address) {
        String found = "";
        int longest = -1;
        int foundIn = -1;
        for (Map.Entry<Integer, AddressBlockList> list : lists.entrySet()) {
            for (Block block : list.getValue().blocks()) {
                int length = Ipv4.length(block.prefix());
                boolean contains = (address & Ipv4.mask(length)) == Ipv4.network(block.prefix(), length);
                if (contains && (length > longest || (length == longest && foundIn == list.getKey()))) {
                    longest = length;
                    found = block.site();
                    foundIn = list.getKey();
                }
            }
        }
        return found;
    }

    private static String site(AddressMap map, String address) {
        return map.siteName(map.siteOf(address));
    }

    private static String name(AddressMap map, int site) {
        return site == AddressMap.NO_SITE ? "" : map.siteName(site);
    }
}
